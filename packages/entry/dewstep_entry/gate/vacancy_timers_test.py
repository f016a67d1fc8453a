from dewstep_entry.gate import fakes_test as fakes, succession, vacancy_timers

MS = fakes.MS


def test_a_vacancy_is_due_once_it_has_lasted_for_one_reason():
    # Guards against acting too early because an earlier vacancy was counted.
    found = vacancy_timers.VacancyTimers()
    suspected = succession.Vacancy(succession.GATE_SUSPECTED, 100 * MS)
    replaced = succession.Vacancy(succession.GATE_REPLACED, 100 * MS)
    assert not found.is_due("t1", suspected, 0 * MS)
    assert not found.is_due("t1", replaced, 100 * MS)
    assert not found.is_due("t1", None, 150 * MS)
    assert not found.is_due("t1", replaced, 200 * MS)
    assert not found.is_due("t2", replaced, 300 * MS)
    assert found.is_due("t1", replaced, 300 * MS)
