"""What is known of cold targets, from whomever it comes and in any order."""

from hypothesis import given
from hypothesis import strategies as st

from cairnferry.policy import AdvertisedLimit, ColdRegistry, Refuse, TargetLimits
from policy._status_checks import call, decide, far, near, policy_of
from policy.usable.test_limited_targets import permit

NOW = 10.0


def test_its_own_word_replaces_what_others_said():
    book = ColdRegistry()
    assert book.receive("t", 14.0, 3.1, NOW)
    assert not book.note_own_report("t", 12.0, 3.1, NOW)
    assert book.get("t").until == 12.0
    assert not book.note_own_report("t", 10.0, 3.1, NOW)
    assert book.get("t") is None


def test_what_others_say_only_extends_it():
    book = ColdRegistry()
    book.note_own_report("t", 13.0, 3.1, NOW)
    assert not book.receive("t", 12.0, 3.1, NOW)
    assert book.get("t").until == 13.0
    book.receive("t", 14.0, 3.1, NOW)
    assert book.get("t").until == 14.0


def test_a_row_counts_once():
    """Guards against a target that stays cold by a row that has not changed."""
    book = ColdRegistry()
    assert book.note_row("t", 13.0, 3.1, NOW)
    book.note_own_report("t", NOW, 3.1, NOW)
    assert not book.note_row("t", 13.0, 3.1, NOW)
    assert book.get("t") is None


def test_others_are_told_when_it_turns_cold_and_when_that_lasts_longer():
    book = ColdRegistry()
    assert book.note_own_report("t", 12.0, 3.1, NOW)
    assert not book.note_own_report("t", 12.1, 3.1, NOW + 0.1)
    assert book.note_own_report("t", 15.0, 3.1, NOW + 0.2)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["note_own_report", "receive", "note_row"]),
            st.sampled_from(["a", "b"]),
            st.floats(0, 20),
        )
    )
)
def test_whatever_is_heard_it_ends(words):
    """Guards against a target that is kept back for good."""
    book = ColdRegistry()
    for kind, identity, until in words:
        getattr(book, kind)(identity, until, 3.1, NOW)
    book.drop_warm(20.0)
    assert len(book) == 0


def test_of_a_limit_and_coldness_the_lower_rate_holds():
    limits = TargetLimits()
    limits.cold.receive("t", 12.0, 3.1, NOW)
    assert limits.rate("t") == 3.1
    limits.advertised.receive("t", AdvertisedLimit(2.0, NOW))
    assert limits.rate("t") == 2.0
    limits.advertised.receive("t", AdvertisedLimit(9.0, NOW + 1))
    assert limits.rate("t") == 3.1


def test_a_request_goes_to_a_cold_target_by_permit_alone():
    """Guards against a cold target that is sent more than it takes."""
    policy = policy_of(*near(2), *far(2))
    for name in ("n0", "n1"):
        policy.limits.cold.receive(name, 50.0, 3.1, 1.0)
    decision, rounds = decide(policy, call())
    assert decision.attempt.target_name.startswith("f")
    assert not {"n0", "n1"} & {name for names in rounds for name in names}
    permit(policy, "n1")
    decision, _ = decide(policy, call(now=1.5), now=1.5)
    assert decision.attempt.target_name == "n1"


def test_with_cold_targets_alone_it_is_refused_until_the_next_permit():
    policy = policy_of(*near(1))
    policy.limits.cold.receive("n0", 50.0, 3.1, 1.0)
    permit(policy, "n0", start=1.6)
    decision, _ = decide(policy, call())
    assert decision == Refuse("target-limit", 1.6 - 1.0)
