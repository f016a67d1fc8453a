from dewstep_core import hashing


def test_compute_shard_is_the_same_in_every_process():
    # Guards against a salted hash, with which processes would compute different shards.
    assert hashing.compute_shard("УБА-1234", 1024) == 141
    assert hashing.compute_shard("", 1) == 0


def test_rank_by_rendezvous_moves_only_subjects_of_the_lost_candidate():
    candidates = ("e1", "e2", "e3")
    for subject in map(str, range(50)):
        ranked = hashing.rank_by_rendezvous(subject, candidates)
        remaining = tuple(name for name in candidates if name != ranked[0])
        assert hashing.rank_by_rendezvous(subject, remaining) == ranked[1:]
