"""The latest limit of a target, with reports in any order."""

from cairnferry.policy import NO_LIMIT, AdvertisedLimit, LimitRegistry


def test_a_limit_is_in_effect_until_a_later_request_is_answered_without_one():
    registry = LimitRegistry()
    assert registry.note_answer("i-1", 2.6, 1.0, 1.2)
    assert registry.rate("i-1") == 2.6
    # Sent before the limit was received, so its response may have been created first.
    assert not registry.note_answer("i-1", NO_LIMIT, 1.1, 1.3)
    assert registry.rate("i-1") == 2.6
    assert registry.note_answer("i-1", NO_LIMIT, 1.3, 1.4)
    assert registry.rate("i-1") is None
    assert len(registry) == 0


def test_a_late_response_does_not_raise_a_limit_that_was_lowered_meanwhile():
    registry = LimitRegistry()
    registry.note_answer("i-1", 2.0, 2.0, 2.1)
    assert not registry.note_answer("i-1", 5.0, 1.0, 2.2)
    assert registry.rate("i-1") == 2.0
    assert registry.note_answer("i-1", 5.0, 2.3, 2.4)
    assert registry.rate("i-1") == 5.0


def test_a_report_by_others_is_applied_if_it_is_later():
    registry = LimitRegistry()
    assert registry.receive("i-1", AdvertisedLimit(4.0, 1.0))
    assert not registry.receive("i-1", AdvertisedLimit(9.0, 0.5))
    assert registry.rate("i-1") == 4.0
    assert registry.receive("i-1", AdvertisedLimit(NO_LIMIT, 2.0))
    assert not registry.receive("i-1", AdvertisedLimit(4.0, 1.5))
    assert registry.rate("i-1") is None


def test_the_reported_end_of_a_limit_overrides_older_reports():
    registry = LimitRegistry()
    registry.receive("i-1", AdvertisedLimit(NO_LIMIT, 2.0))
    assert not registry.receive("i-1", AdvertisedLimit(4.0, 1.0))
    assert registry.rate("i-1") is None


def test_a_limit_of_zero_admits_one_request_in_ten_seconds_to_observe_its_end():
    registry = LimitRegistry()
    registry.note_answer("i-1", 0.0, 1.0, 1.1)
    assert registry.rate("i-1") == 0.1


def test_limits_of_unlisted_targets_are_dropped_after_a_grace_period():
    registry = LimitRegistry()
    registry.note_answer("i-1", 2.0, 1.0, 1.1)
    registry.note_answer("i-2", 2.0, 1.0, 1.1)
    assert registry.forget_unlisted({"i-1"}, 10.0) == []
    assert registry.forget_unlisted({"i-1"}, 90.0) == ["i-2"]
    assert list(registry.in_force()) == ["i-1"]


def test_the_number_of_limits_of_unknown_targets_is_bounded():
    registry = LimitRegistry()
    for number in range(5000):
        registry.receive(f"i-{number}", AdvertisedLimit(1.0, float(number)))
    assert len(registry) == 4096
