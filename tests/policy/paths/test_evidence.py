"""Tests of the evidence on whether the paths to a service's targets work."""

from cairnferry.policy import ServicePaths


def paths_with(targets=20):
    paths = ServicePaths(targets=targets)
    paths.note_answer("t0", 10.0)
    return paths


def miss(paths, count, began):
    for number in range(count):
        paths.note_no_answer(f"t{number}", began)


def test_paths_are_broken_after_a_round_without_an_answer():
    paths = paths_with()
    miss(paths, 4, began=10.3)
    assert paths.are_broken(10.33)
    (change,) = paths.take_changes()
    assert not change.works
    assert change.inputs["unanswered"] == ["t0", "t1", "t2", "t3"]
    assert change.inputs["quiet_s"] == 0.33


def test_one_answer_shows_that_paths_work():
    paths = paths_with()
    miss(paths, 4, began=10.3)
    assert paths.are_broken(10.33)
    paths.note_answer("t7", 11.0)
    assert not paths.are_broken(11.0)
    assert [change.works for change in paths.take_changes()] == [False, True]


def test_some_crashed_targets_do_not_count_as_broken_paths():
    """Guards against a daemon that takes a crash of many targets for its own cut."""
    paths = paths_with()
    now = 10.0
    for _ in range(50):
        now += 0.05
        miss(paths, 8, began=now)
        assert not paths.are_broken(now + 0.03)
        paths.note_answer("t9", now + 0.03)


def test_exchange_that_began_before_the_last_answer_is_no_evidence():
    """Guards against old requests that end together after a pause of the daemon."""
    paths = paths_with()
    miss(paths, 8, began=9.0)
    assert not paths.are_broken(12.0)


def test_one_silent_target_of_many_is_no_evidence():
    paths = paths_with()
    for _ in range(10):
        paths.note_no_answer("t1", 10.5)
    assert not paths.are_broken(12.0)


def test_a_service_with_one_target_has_one_path():
    paths = paths_with(targets=1)
    paths.note_no_answer("t0", 10.2)
    assert paths.are_broken(10.5)


def test_daemon_that_never_reached_a_target_has_no_path():
    """Guards against a daemon that starts while cut off and counts on its paths."""
    paths = ServicePaths(targets=20)
    miss(paths, 4, began=1.0)
    assert paths.are_broken(1.03)
    assert paths.snapshot(2.0)["quiet_s"] is None


def test_paths_are_impaired_while_many_targets_do_not_answer():
    paths = paths_with(targets=8)
    paths.note_no_answer("t1", 10.1)
    assert not paths.are_impaired()
    paths.note_no_answer("t2", 10.1)
    assert paths.are_impaired()
    paths.note_answer("t0", 10.2)
    assert paths.are_impaired()
    paths.note_answer("t1", 10.3)
    assert not paths.are_impaired()


def test_targets_that_are_gone_do_not_impair_paths():
    """Guards against requests that are passed on for targets that were replaced."""
    paths = paths_with(targets=8)
    miss(paths, 4, began=10.1)
    paths.keep_only({"t4", "t5", "t6", "t7"})
    assert not paths.are_impaired()
    assert not paths.are_broken(12.0)


def test_a_service_without_targets_has_no_broken_paths():
    assert not ServicePaths().are_broken(5.0)
