"""What messages of other instances say about the rows that ask for an evacuation.

Instances of earlier versions relay such rows like others, but do not read them: to
them, a complete table of the store seems to lack a row that was relayed to them.
"""

from dewstep_fleet import frames, model


def is_evacuation(row: model.StoredRow) -> bool:
    """Whether a row asks for an evacuation, or did so before its removal."""
    is_configuration = row.table == model.TABLES.configuration
    return is_configuration and row.key.startswith(model.EVACUATION_PREFIX)


def exclude_assumed_removals(frame: frames.Frame) -> frames.Frame:
    """Return a message without removals that its sender cannot have read."""
    if frame.reads_evacuations or not frame.rows:
        return frame
    kept = tuple(
        row for row in frame.rows if row.value is not None or not is_evacuation(row)
    )
    return frame._replace(rows=kept)
