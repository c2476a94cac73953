"""Authentication by the values of the Authorization field."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.entry.workspaces import KeyFault, WorkspaceRegistry, authenticate
from cairnferry.records import Workspace, digest_key

KEY = "k3y-of_acme.1"
ACME = Workspace("acme", frozenset([digest_key(KEY), digest_key("second")]))
OTHER = Workspace("other", frozenset([digest_key("third")]))


def registry(*workspaces):
    found = WorkspaceRegistry()
    found.install(found.prepare(workspaces))
    return found


@pytest.mark.parametrize(
    "value", [f"Bearer {KEY}", f"bearer {KEY}", f"BEARER   {KEY}", "Bearer second"]
)
@pytest.mark.parametrize("anonymous", [False, True])
def test_held_key_is_admitted_as_its_workspace(value, anonymous):
    """Guards against anonymous routes that ignore the workspace of a valid key."""
    assert authenticate([value], anonymous, registry(ACME, OTHER)).ok is ACME


@pytest.mark.parametrize(
    ("values", "fault"),
    [
        ([""], KeyFault.MALFORMED),
        (["Bearer"], KeyFault.MALFORMED),
        (["Bearer "], KeyFault.MALFORMED),
        ([f"Basic {KEY}"], KeyFault.MALFORMED),
        ([KEY], KeyFault.MALFORMED),
        ([f"Bearer {KEY} {KEY}"], KeyFault.MALFORMED),
        ([f"Bearer {KEY}\t"], KeyFault.MALFORMED),
        ([f"Bearer {KEY}\x00"], KeyFault.MALFORMED),
        ([f"Bearer {KEY}\xe9"], KeyFault.MALFORMED),
        (["Bearer " + "x" * 513], KeyFault.MALFORMED),
        (["Bearer " + "x" * 512], KeyFault.UNKNOWN),
        ([f"Bearer {KEY}x"], KeyFault.UNKNOWN),
        ([f"Bearer {KEY.upper()}"], KeyFault.UNKNOWN),
        ([f"Bearer {digest_key(KEY)}"], KeyFault.UNKNOWN),
        ([f"Bearer {KEY}", f"Bearer {KEY}"], KeyFault.REPEATED),
        (["", f"Bearer {KEY}"], KeyFault.REPEATED),
    ],
)
@pytest.mark.parametrize("anonymous", [False, True])
def test_each_fault_has_its_cause_on_all_routes(values, fault, anonymous):
    """Guards against anonymous routes that serve a revoked key."""
    assert authenticate(values, anonymous, registry(ACME)).error is fault


def test_missing_key_is_a_fault_except_on_anonymous_routes():
    assert authenticate([], False, registry(ACME)).error is KeyFault.MISSING
    assert authenticate([], True, registry(ACME)).ok is None


VALUES = st.lists(
    st.text()
    | st.text(st.characters(max_codepoint=255)).map("Bearer {}".format)
    | st.sampled_from([f"Bearer {KEY}", "Bearer second", "bearer third "]),
    max_size=3,
)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(VALUES, st.booleans())
def test_any_value_is_admitted_only_with_a_held_key(values, anonymous):
    """Guards against an exception, or an admission, for any field that a caller sends.

    An exception in the reader of a connection ends all its requests.
    """
    found = authenticate(values, anonymous, registry(ACME, OTHER))
    held = {KEY: ACME, "second": ACME, "third": OTHER}
    if found.is_error():
        assert isinstance(found.error, KeyFault)
    elif found.ok is None:
        assert anonymous
        assert values == []
    else:
        (value,) = values
        assert held[value.split()[1]] is found.ok
