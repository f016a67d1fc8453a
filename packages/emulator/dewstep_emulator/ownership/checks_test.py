import datetime
import time

from dewstep_emulator.ownership import checks, target_processes
from dewstep_fleet import model

SECOND = datetime.timedelta(seconds=1)
LAST = model.KEY_SPACE_SIZE - 1


def build_process(name, service="history", life=1):
    return target_processes.Process(name, service, "10.0.0.1", 80, life)


A, B, C = (build_process(name) for name in "abc")


def record(check, *entries):
    """Record grants (at, process, first, last, generation, end) in seconds."""
    for at, process, first, last, generation, end in entries:
        check.record_grant(at * SECOND, process, first, last, generation, end * SECOND)


def list_problems(check):
    return [(item.problem, item.first, item.last) for item in check.violations]


# Guards against two owners while the earlier grant is in force.
def test_two_owners_are_reported_with_the_keys_in_conflict():
    check = checks.OwnershipCheck()
    record(check, (0, A, 0, 99, 1, 3), (2, B, 50, 149, 2, 5))
    assert list_problems(check) == [(checks.TWO_OWNERS, 50, 99)]
    assert check.violations[0].other == A
    assert check.violations[0].other_end == 3 * SECOND


def test_expired_released_and_ended_grants_do_not_conflict():
    check = checks.OwnershipCheck()
    record(check, (0, A, 0, 99, 1, 2), (2, B, 0, 99, 2, 9))
    check.record_release(3 * SECOND, B, 0, 49, 3 * SECOND)
    record(check, (3, A, 0, 49, 3, 9))
    check.record_end(4 * SECOND, A)
    check.record_end(4 * SECOND, B)
    record(check, (4, C, 0, 99, 4, 9))
    assert check.violations == []


# Guards against an owner that starts while the one before is still at work.
def test_keys_count_as_owned_until_work_on_them_has_ended():
    check = checks.OwnershipCheck()
    record(check, (0, A, 0, 99, 1, 9))
    check.record_release(1 * SECOND, A, 0, 99, 3 * SECOND)
    record(check, (2, B, 0, 49, 2, 9), (3, B, 50, 99, 2, 9))
    assert list_problems(check) == [(checks.TWO_OWNERS, 0, 49)]


# Guards against a number that an earlier process had, also long after its end.
def test_number_that_another_process_had_is_reported():
    check = checks.OwnershipCheck()
    record(check, (0, A, 0, 99, 5, 1), (2, B, 0, 99, 6, 3))
    record(check, (4, A, 0, 99, 7, 5), (6, build_process("a", life=2), 9, 9, 7, 7))
    record(check, (8, C, 200, 299, 1, 9))
    assert list_problems(check) == [(checks.STALE_GENERATION, 9, 9)]
    assert check.violations[0].other_generation == 7


def test_renewals_and_other_services_do_not_conflict():
    check = checks.OwnershipCheck()
    record(check, (0, A, 0, 99, 5, 3), (1, A, 0, 99, 5, 4), (1, A, 0, 99, 4, 4))
    record(check, (1, build_process("d", "ledger"), 0, 99, 1, 4))
    assert check.violations == []


# Guards against a check that takes longer the longer a run lasts.
def test_renewals_take_little_time():
    check = checks.OwnershipCheck()
    processes = [build_process(f"t{number}") for number in range(16)]
    size = model.KEY_SPACE_SIZE // 256
    began = time.process_time()
    for at in range(80):
        for position in range(256):
            first = position * size
            process = processes[position % 16]
            record(check, (at, process, first, first + size - 1, 1, at + 3))
    assert check.violations == []
    # 20,480 grants.
    assert time.process_time() - began < 4


def build_gaps(check, at):
    check.finish(at * SECOND)
    return [
        (gap.first, gap.last, gap.process.name, gap.began / SECOND, gap.ended / SECOND)
        for gap in check.gaps
    ]


# Guards against grants that are not renewed although the owner answers.
def test_gap_lasts_from_the_expiry_to_the_next_grant():
    check = checks.UnownedCheck()
    record(check, (0, A, 0, 99, 1, 2), (1, A, 0, 49, 1, 4), (5, B, 0, 99, 2, 8))
    assert build_gaps(check, 8) == [(0, 49, "a", 4, 5), (50, 99, "a", 2, 5)]
    longest = checks.find_longest(check.gaps)
    assert (longest.first, longest.released) == (50, False)


# Guards against released keys that nobody is given.
def test_gap_begins_with_a_release():
    check = checks.UnownedCheck(tolerance=SECOND / 2)
    record(check, (0, A, 0, 99, 1, 9))
    check.record_release(1 * SECOND, A, 0, 99, 1 * SECOND)
    record(check, (1.4, B, 0, 49, 2, 9), (3, B, 50, 99, 2, 9))
    assert build_gaps(check, 9) == [(50, 99, "a", 1, 3)]
    assert check.gaps[0].released


def test_time_in_which_the_owner_is_gone_or_unreachable_does_not_count():
    check = checks.UnownedCheck()
    record(check, (0, A, 0, 99, 1, 2), (0, B, 100, 199, 1, 2))
    check.record_end(1 * SECOND, A)
    check.record_reachable(3 * SECOND, B, False)
    check.record_reachable(7 * SECOND, B, True)
    record(check, (9, B, 100, 199, 1, 12))
    assert build_gaps(check, 12) == [(100, 199, "b", 2, 3), (100, 199, "b", 7, 9)]


def test_gap_at_the_end_of_a_run_is_recorded_once():
    check = checks.UnownedCheck()
    record(check, (0, A, 0, LAST, 1, 2))
    assert build_gaps(check, 4) == [(0, LAST, "a", 2, 4)]
    check.finish(4 * SECOND)
    assert len(check.gaps) == 1
