"""Tests of parsing: both schema versions give the same internal form."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.records import (
    Kind,
    Lifecycle,
    MalformedRecord,
    Priority,
    RefusalContract,
    Route,
    Service,
    Target,
    UnknownSchemaVersion,
    Workspace,
    digest_key,
    parse_record,
)
from cairnferry.standins import (
    route_v1,
    route_v2,
    service_v1,
    service_v2,
    target_v1,
    target_v2,
    workspace_v1,
    workspace_v2,
)

ADDRESS = "10.0.0.1:80"


def test_services_of_both_versions_are_equal():
    old = service_v1("s", timeout_s=0.25, retry_percent=20, hedge="yes", queue=5)
    new = service_v2("s", 250, retryBudget=0.2, hedging={"enabled": True}, queueLimit=5)
    assert (
        parse_record(old).ok == parse_record(new).ok == Service("s", 250, 0.2, True, 5)
    )


def test_targets_of_both_versions_are_equal():
    old = target_v1("t", "s", "z", ADDRESS, slots=4, drain=True, health="/h")
    new = target_v2(
        "t", "s", "z", ADDRESS, slots=4, lifecycle="draining", health={"path": "/h"}
    )
    refusal = RefusalContract(503, "x-refused")
    expected = Target(
        "t", "s", "z", "10.0.0.1", 80, 4, Lifecycle.DRAINING, "/h", refusal
    )
    assert parse_record(old).ok == parse_record(new).ok == expected


def test_routes_of_both_versions_are_equal():
    old = route_v1("r", "/p", "s", safe_methods="GET,PUT", timeout_s=2, bulk=True)
    new = route_v2(
        "r",
        "/p",
        "s",
        idempotentMethods=["GET", "PUT"],
        deadlineMillis=2000,
        priority="background",
    )
    methods = frozenset(["GET", "PUT"])
    expected = Route("r", "/p", "s", methods, 2000, Priority.BACKGROUND)
    assert parse_record(old).ok == parse_record(new).ok == expected


def test_workspaces_of_both_versions_are_equal():
    old = workspace_v1("w", "one", "two", rank=2, rate_per_s=1.5, burst=3)
    limit = {"ratePerSecond": 1.5, "burst": 3}
    new = workspace_v2("w", "one", "two", rank=2, limit=limit)
    digests = frozenset([digest_key("one"), digest_key("two")])
    expected = Workspace("w", digests, 2, 1.5, 3)
    assert parse_record(old).ok == parse_record(new).ok == expected


def test_workspace_without_keys_and_limit_in_both_versions():
    expected = Workspace("w", frozenset(), None, 0, 0)
    assert parse_record(workspace_v1("w")).ok == expected
    assert parse_record(workspace_v2("w")).ok == expected


def test_routes_of_both_versions_can_be_anonymous():
    assert parse_record(route_v1("r", "/p", "s", anonymous=True)).ok.anonymous
    assert parse_record(route_v2("r", "/p", "s", anonymous=True)).ok.anonymous
    assert not parse_record(route_v1("r", "/p", "s")).ok.anonymous
    assert not parse_record(route_v2("r", "/p", "s")).ok.anonymous


DIGEST = digest_key("k")


@pytest.mark.parametrize(
    ("document", "field"),
    [
        (workspace_v1("w", key_digests="secret-key"), "key_digests"),
        (workspace_v1("w", key_digests=DIGEST.upper()), "key_digests"),
        (workspace_v1("w", key_digests=f"{DIGEST}\n"), "key_digests"),
        (workspace_v1("w", key_digests=f"{DIGEST},"), "key_digests"),
        (workspace_v1("w", api_keys=["secret-key"]), "api_keys"),
        (workspace_v1("w", rank=-1), "rank"),
        (workspace_v1("w", rate_per_s=-0.5), "rate_per_s"),
        (workspace_v2("w", keyDigests=["secret-key"]), "spec.keyDigests.0"),
        (workspace_v2("w", keyDigests=[DIGEST, DIGEST]), "spec.keyDigests"),
        (workspace_v2("w", keyDigests=None), "spec.keyDigests"),
        (workspace_v2("w", limit={"ratePerSecond": 1}), "spec.limit.burst"),
        (workspace_v2("w", rank=True), "spec.rank"),
        (workspace_v2("w", keys=["secret-key"]), "spec.keys"),
        (workspace_v2("WITH-CAPITALS"), "metadata.name"),
        (route_v2("r", "/p", "s", anonymous="yes"), "spec.anonymous"),
    ],
)
def test_error_of_a_workspace_names_the_field_and_no_key(document, field):
    """Guards against a key in the log, where an operator submits it for its digest."""
    error = parse_record(document).error
    assert error.field == field
    assert "secret-key" not in str(error)


def test_idempotent_methods_default_to_those_of_the_standard():
    methods = parse_record(route_v1("r", "/p", "s")).ok.idempotent_methods
    assert "POST" not in methods
    assert {"GET", "PUT", "DELETE"} <= methods


@pytest.mark.parametrize(
    ("document", "field"),
    [
        ([], "(document)"),
        ({"kind": "service"}, "schema"),
        ({"schema": True, "kind": "service"}, "schema"),
        ({"schema": 1, "kind": "cluster"}, "kind"),
        (service_v1("s", timeout_s="1"), "timeout_s"),
        (service_v1("s", timeout_s=0), "timeout_s"),
        (service_v1("UPPER"), "name"),
        (service_v1("s") | {"extra": 1}, "extra"),
        ({"schema": 1, "kind": "service", "name": "s"}, "timeout_s"),
        (target_v2("t", "s", "z", ADDRESS, lifecycles="x"), "spec.lifecycles"),
        (target_v1("t", "s", "z", "10.0.0.999:80"), "address"),
        (target_v1("t", "s", "z", "10.0.0.1:0"), "address"),
        (target_v1("t", "s", "z", ADDRESS, slots=0), "slots"),
        (target_v2("t", "s", "z", ADDRESS, lifecycle="gone"), "spec.lifecycle"),
        (service_v2("s", 1.5), "spec.deadlineMillis"),
        (route_v2("r", "no-slash", "s"), "spec.match.pathPrefix"),
    ],
)
def test_error_names_the_invalid_field(document, field):
    error = parse_record(document).error
    assert isinstance(error, MalformedRecord)
    assert error.field == field
    assert error.expected


def test_unknown_schema_version_has_its_own_error():
    error = parse_record(service_v1("s") | {"schema": 3}).error
    assert error == UnknownSchemaVersion("service/s", "3")


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)
RECORD_LIKE = st.fixed_dictionaries(
    {},
    optional={
        key: JSON | st.sampled_from([1, 2, *Kind, "s", DIGEST])
        for key in (
            "schema",
            "kind",
            "name",
            "metadata",
            "spec",
            "timeout_s",
            "path",
            "key_digests",
            "rank",
        )
    },
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(JSON | RECORD_LIKE)
def test_any_document_returns_a_record_or_a_typed_error(document):
    parsed = parse_record(document)
    if parsed.is_error():
        assert isinstance(parsed.error, MalformedRecord | UnknownSchemaVersion)
