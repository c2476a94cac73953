"""Cold targets, reported by any source and in any order."""

from hypothesis import given
from hypothesis import strategies as st

from cairnferry.policy import AdvertisedLimit, ColdRegistry, Refuse, TargetLimits
from policy._status_checks import call, decide, far, near, policy_of
from policy.usable.test_limited_targets import permit

NOW = 10.0


def test_a_report_by_the_target_replaces_reports_by_others():
    registry = ColdRegistry()
    assert registry.receive("t", 14.0, 3.1, NOW)
    assert not registry.note_own_report("t", 12.0, 3.1, NOW)
    assert registry.get("t").until == 12.0
    assert not registry.note_own_report("t", 10.0, 3.1, NOW)
    assert registry.get("t") is None


def test_reports_by_others_only_extend_a_cold_period():
    registry = ColdRegistry()
    registry.note_own_report("t", 13.0, 3.1, NOW)
    assert not registry.receive("t", 12.0, 3.1, NOW)
    assert registry.get("t").until == 13.0
    registry.receive("t", 14.0, 3.1, NOW)
    assert registry.get("t").until == 14.0


def test_an_unchanged_row_is_applied_once():
    """Guards against a target that stays cold because of an unchanged row."""
    registry = ColdRegistry()
    assert registry.note_row("t", 13.0, 3.1, NOW)
    registry.note_own_report("t", NOW, 3.1, NOW)
    assert not registry.note_row("t", 13.0, 3.1, NOW)
    assert registry.get("t") is None


def test_the_start_and_the_extension_of_a_cold_period_are_reported_to_others():
    registry = ColdRegistry()
    assert registry.note_own_report("t", 12.0, 3.1, NOW)
    assert not registry.note_own_report("t", 12.1, 3.1, NOW + 0.1)
    assert registry.note_own_report("t", 15.0, 3.1, NOW + 0.2)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["note_own_report", "receive", "note_row"]),
            st.sampled_from(["a", "b"]),
            st.floats(0, 20),
        )
    )
)
def test_every_cold_period_ends(reports):
    """Guards against a target that is limited for ever."""
    registry = ColdRegistry()
    for kind, identity, until in reports:
        getattr(registry, kind)(identity, until, 3.1, NOW)
    registry.drop_warm(20.0)
    assert len(registry) == 0


def test_the_lower_rate_of_limit_and_cold_period_applies():
    limits = TargetLimits()
    limits.cold.receive("t", 12.0, 3.1, NOW)
    assert limits.rate("t") == 3.1
    limits.advertised.receive("t", AdvertisedLimit(2.0, NOW))
    assert limits.rate("t") == 2.0
    limits.advertised.receive("t", AdvertisedLimit(9.0, NOW + 1))
    assert limits.rate("t") == 3.1


def test_a_request_goes_to_a_cold_target_only_with_a_permit():
    """Guards against a cold target that is sent more than it tolerates."""
    policy = policy_of(*near(2), *far(2))
    for name in ("n0", "n1"):
        policy.limits.cold.receive(name, 50.0, 3.1, 1.0)
    decision, rounds = decide(policy, call())
    assert decision.attempt.target_name.startswith("f")
    assert not {"n0", "n1"} & {name for names in rounds for name in names}
    permit(policy, "n1")
    decision, _ = decide(policy, call(now=1.5), now=1.5)
    assert decision.attempt.target_name == "n1"


def test_with_only_cold_targets_a_request_is_refused_until_the_next_permit():
    policy = policy_of(*near(1))
    policy.limits.cold.receive("n0", 50.0, 3.1, 1.0)
    permit(policy, "n0", start=1.6)
    decision, _ = decide(policy, call())
    assert decision == Refuse("target-limit", 1.6 - 1.0)
