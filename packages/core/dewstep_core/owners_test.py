from dewstep_core import data, hashing, owners


def test_find_owner_prefers_the_override_of_a_key():
    assignment = data.Assignment("history", 7, ("t1",) * 4, {"hot": "t2"}, ())
    assert owners.find_owner(assignment, "hot") == (
        "t2",
        hashing.compute_shard("hot", 4),
    )
    assert owners.find_owner(assignment, "cold")[0] == "t1"
