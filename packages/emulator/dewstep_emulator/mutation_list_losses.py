"""Mutations of the handling of lost gates and targets, registered on import."""

from dewstep_emulator import mutation_types

NOT_EVACUATED = mutation_types.Edit(
    mutation_types.GATE + "moves.py",
    "while gate.lost and not gate.releasing and owns_shards_or_keys(gate):",
    "while False:",
)
NOT_REPLACED = mutation_types.Edit(
    mutation_types.GATE + "succession.py",
    "return None if state.alive else GATE_SUSPECTED",
    "return None",
)

mutation_types.register_mutation(
    "lost-target-not-evacuated", "target-killed", "ServedLate", NOT_EVACUATED
)
mutation_types.register_mutation(
    "suspected-gate-not-replaced", "gate-killed", "ServedLate", NOT_REPLACED
)
