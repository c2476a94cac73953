"""Explanation of a request from log lines."""

import json
import subprocess
import sys

import pytest

from cairnferry.ctl._explain import explain, format_lines, read_log, sentences
from cairnferry.ctl._sentences import explain_cuts, explain_refusals

ID = "9c41d07b"


def line(second, message, instance="front-1", **facts):
    whole, milliseconds = divmod(round(second * 1000), 1000)
    return json.dumps(
        {
            "time": f"2026-05-04 10:00:{whole:02d},{milliseconds:03d}",
            "level": "INFO",
            "part": "cairnferry.entry",
            "message": message,
            "instance": instance,
            **facts,
        }
    )


GIVEN_UP = {
    "request_id": ID,
    "service": "svc",
    "attempts": ["first t1 at 1.0 ms"],
    "asked": ["t1", "t2"],
    "after_ms": 500.0,
    "cause": "target-lost",
}
TEXTS = [
    line(9.5, "request given up", **GIVEN_UP),
    line(8.0, "target silent", service="svc", target="t1"),
    line(8.1, "target silent", service="svc", target="t9"),
    line(8.2, "feed lost", feed="rules", why="status 503"),
    line(8.3, "feed lost", instance="front-2", feed="rules", why="status 503"),
    line(3.0, "target silent", service="svc", target="t2"),
    line(9.4, "request answered", request_id="another", attempts=[], asked=[]),
    line(9.9, "target heard again", service="svc", target="t1"),
]


def test_a_request_is_explained_by_state_changes_of_its_instance():
    lines = explain(read_log(TEXTS), ID, before_s=2.0)
    assert [(each.message, each.instance) for each in lines] == [
        ("target silent", "front-1"),
        ("feed lost", "front-1"),
        ("request given up", "front-1"),
    ]
    assert lines[0].fields["target"] == "t1"


def test_a_blocked_request_is_explained_by_the_crashes_that_led_to_the_block():
    """Other instances saw the crashes, long before the request arrived."""
    refused = {
        "request_id": ID,
        "attempts": [],
        "asked": [],
        "after_ms": 0.4,
        "cause": "ends-targets",
        "content": "c0ffee",
        "caller": "cafe",
    }
    in_hand_texts = {
        "c0ffee": "c0ffee of cafe r1 61 ms",
        "beef": "beef of cafe r2 3 ms",
    }
    texts = [line(50.0, "request given up", **refused)]
    for second, names in (
        (1.0, ["beef", "c0ffee"]),
        (2.0, ["c0ffee"]),
        (3.0, ["beef"]),
    ):
        texts.append(
            line(
                second,
                "target ended under requests",
                instance="front-2",
                target=f"t{second:.0f}",
                in_hand=[in_hand_texts[name] for name in names],
            )
        )
    blocked = {"content": "c0ffee", "caller": "cafe", "by": "ends"}
    texts.append(line(2.1, "request blocked", instance="front-2", **blocked))
    texts.append(line(2.2, "request blocked", instance="front-2", content="beef"))
    lines = explain(read_log(texts), ID, before_s=2.0)
    assert [(each.message, each.fields.get("target")) for each in lines] == [
        ("target ended under requests", "t1"),
        ("target ended under requests", "t2"),
        ("request blocked", None),
        ("request given up", None),
    ]


def test_a_longer_time_before_the_request_includes_more_lines():
    lines = explain(read_log(TEXTS), ID, before_s=60.0)
    assert [each.fields.get("target") for each in lines][:2] == ["t2", "t1"]


def test_a_request_without_log_lines_has_no_explanation():
    assert explain(read_log(TEXTS), "unheard-of", before_s=2.0) == []


def test_text_before_the_object_and_unreadable_lines_are_ignored():
    texts = ["  11.44 front-1 " + TEXTS[0], "words", "{", '{"time": "never"}', "", "[]"]
    log = read_log(texts)
    assert len(log.lines) == 1
    assert log.unreadable == 4


def test_a_throttled_request_is_explained_by_all_limits_of_its_instance():
    """No target was checked or tried, so no line on the request names a target."""
    facts = GIVEN_UP | {"attempts": [], "asked": [], "cause": "target-limit"}
    texts = [
        line(1.0, "limit named", target="t1", per_s=2.6),
        line(1.1, "limit named", target="t2", per_s=3.0),
        line(1.2, "limit named", instance="front-2", target="t3", per_s=3.0),
        line(9.5, "request given up", **facts),
        line(9.8, "limit lifted", target="t1"),
    ]
    lines = explain(read_log(texts), ID, before_s=2.0)
    assert [each.fields.get("target") for each in lines] == ["t1", "t2", None]


def test_a_request_is_explained_by_earlier_evacuations_of_its_instance():
    facts = GIVEN_UP | {"attempts": [], "asked": [], "cause": "zones-evacuated"}
    texts = [
        line(1.0, "zone evacuated", evacuated="zone-a", version=7),
        line(1.0, "zone evacuated", instance="front-2", evacuated="zone-b", version=8),
        line(9.5, "request given up", **facts),
        line(9.8, "zone restored", restored="zone-a"),
    ]
    lines = explain(read_log(texts), ID, before_s=2.0)
    assert [each.fields.get("evacuated") for each in lines] == ["zone-a", None]


def test_a_request_is_explained_by_the_limits_of_the_targets_that_it_tried():
    texts = [
        line(1.0, "limit named", target="t1", per_s=2.6),
        line(1.1, "limit named", target="t9", per_s=3.0),
        line(9.5, "request given up", **GIVEN_UP),
    ]
    lines = explain(read_log(texts), ID, before_s=2.0)
    assert [each.fields.get("target") for each in lines] == ["t1", None]


def test_lines_of_the_request_are_marked():
    texts = list(format_lines(explain(read_log(TEXTS), ID, before_s=2.0)))
    assert [text[0] for text in texts] == [" ", " ", "*"]
    assert "10:00:09.500  front-1  request given up" in texts[-1]
    assert "attempts=first t1 at 1.0 ms" in texts[-1]
    assert "asked=t1, t2" in texts[-1]


@pytest.mark.parametrize("through", ["files", "stdin"])
def test_the_command_reads_files_and_standard_input(through, tmp_path):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(TEXTS[:4]))
    second.write_text("\n".join(TEXTS[4:]))
    files = [str(first), str(second)] if through == "files" else []
    text = None if through == "files" else "\n".join(TEXTS)
    done = run("explain", ID, *files, text=text)
    assert done.returncode == 0
    assert done.stdout.count("\n") == 3


def test_an_unknown_request_and_a_missing_file_have_different_errors(tmp_path):
    unknown = run("explain", "unheard-of", text="\n".join(TEXTS))
    assert (unknown.returncode, unknown.stdout) == (3, "")
    assert "no line on unheard-of" in unknown.stderr
    missing = run("explain", ID, str(tmp_path / "none.log"))
    assert missing.returncode == 2
    assert "No such file" in missing.stderr


def run(*args, text=None):
    return subprocess.run(
        [sys.executable, "-m", "cairnferry.ctl.command", *args],
        input=text,
        capture_output=True,
        text=True,
        check=False,
    )


def test_a_request_that_back_off_blocked_is_explained_by_all_back_offs():
    """No target was checked or tried, so no line on the request names a target."""
    facts = GIVEN_UP | {"attempts": [], "asked": [], "cause": "targets-resting"}
    texts = [
        line(1.0, "target asks for rest", target="t1", for_s=30.0),
        line(1.1, "target asks for rest", target="t2", for_s=9.0),
        line(1.2, "target asks for rest", instance="front-2", target="t3", for_s=3.0),
        line(9.5, "request given up", **facts),
        line(9.8, "target has rested", target="t1"),
    ]
    lines = explain(read_log(texts), ID, before_s=2.0)
    assert [each.fields.get("target") for each in lines] == ["t1", "t2", None]


def rejected(cause, **fields):
    facts = {"request_id": ID, "cause": cause, "revision": 7, **fields}
    return line(9.5, "request rejected", **facts)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (rejected("key-missing"), "no Authorization header"),
        (rejected("key-malformed"), "is not `Bearer`"),
        (rejected("key-repeated"), "more than one Authorization header"),
        (rejected("key-unknown"), "no workspace holds its key by the rules of"),
        (rejected("key-unknown", workspace="acme"), "workspace acme was removed"),
        (
            rejected("key-unknown", workspace="acme", outcome="unknown"),
            "an earlier attempt may have run",
        ),
    ],
)
def test_refused_key_is_explained_in_a_sentence(text, expected):
    lines = explain(read_log([text]), ID, 1.0)
    (sentence,) = explain_refusals(lines)
    assert expected in sentence
    assert "front-1 refused it: " in sentence


def test_other_outcomes_have_no_sentence():
    lines = explain(read_log(TEXTS), ID, 2.0)
    assert explain_refusals(lines) == []


CUT = {
    "request_id": ID,
    "service": "svc",
    "attempts": ["first t1 at 1.0 ms"],
    "asked": ["t1"],
    "after_ms": 2300.0,
    "stage": "at-target",
    "since_stop_s": 5.4,
    "at_work": ["t1 for 2299.0 ms"],
    "why": "its target had not answered",
}


def test_request_that_a_stop_cut_is_explained_by_the_stop():
    """Guards against a cut request whose cause is not found from its ID."""
    texts = [
        line(20.0, "leaving"),
        line(20.0, "leaving", instance="front-2"),
        line(25.4, "request cut by a stop", **CUT),
        line(25.5, "left", every_request_answered=False, cut={"at-target": 1}),
        line(45.0, "leaving"),
        line(50.0, "left", every_request_answered=True, cut={}),
    ]
    lines = explain(read_log(texts), ID, before_s=2.0)
    assert [(each.message, each.instance) for each in lines] == [
        ("leaving", "front-1"),
        ("request cut by a stop", "front-1"),
        ("left", "front-1"),
    ]
    (sentence,) = explain_cuts(lines)
    assert sentence == (
        "front-1 ended 5.4 s after its stop began and cut it, as its target had not "
        "answered; it had arrived 3.1 s after the beginning of the stop, was at work "
        "at t1 for 2299.0 ms, and its caller got no whole answer of a target: "
        "it may have run"
    )


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        ({"after_ms": 6400.0}, "arrived 1.0 s before the stop"),
        ({"stage": "reading", "attempts": [], "at_work": []}, "it did not run"),
        ({"stage": "waiting", "at_work": []}, "an earlier attempt may have run"),
        ({"since_stop_s": None}, "arrived 2.3 s before its end"),
    ],
)
def test_sentence_on_a_cut_request_says_when_it_arrived_and_whether_it_ran(
    changed, expected
):
    texts = [line(25.4, "request cut by a stop", **(CUT | changed))]
    (sentence,) = explain_cuts(explain(read_log(texts), ID, 2.0))
    assert expected in sentence


def test_refusal_by_the_limit_of_a_workspace_is_explained_in_a_sentence():
    refused = {
        "request_id": ID,
        "attempts": [],
        "cause": "workspace-limit",
        "workspace": "red",
        "rate": 8.0,
        "burst": 16.0,
        "owner": "front-7",
        "age_ms": 2.1,
        "tokens": -0.4,
    }
    lines = explain(read_log([line(1.0, "request given up", **refused)]), ID, 2.0)
    (sentence,) = sentences(lines)
    assert "red was over its limit of 8.0 requests per second" in sentence
    assert "front-7, asked 2.1 ms before" in sentence


def test_refusal_without_an_owner_is_not_called_a_refusal_by_the_limit():
    refused = {
        "request_id": ID,
        "attempts": [],
        "cause": "limit-unverified",
        "workspace": "red",
        "owner": "front-7",
    }
    lines = explain(read_log([line(1.0, "request given up", **refused)]), ID, 2.0)
    (sentence,) = sentences(lines)
    assert "front-1 reached no daemon that counts the requests" in sentence
    assert "nothing says that the workspace was over its limit" in sentence


def test_a_detour_is_explained_by_the_lines_of_both_instances():
    """Guards against a request whose way over a second instance leaves no trace."""
    served = {"request_id": ID, "service": "svc", "attempts": [], "asked": []}
    texts = [
        line(1.0, "no target reachable", service="svc", unanswered=["t1"]),
        line(1.1, "no target reachable", service="other", unanswered=["t2"]),
        line(1.2, "no target reachable", "front-3", service="svc", unanswered=["t1"]),
        line(9.0, "request from a peer", "front-2", received_from="front-1", **served),
        line(9.1, "request passed on", passed_on=["front-2 Served"], **served),
    ]
    lines = explain(read_log(texts), ID, before_s=2.0)
    assert [(each.message, each.instance) for each in lines] == [
        ("no target reachable", "front-1"),
        ("request from a peer", "front-2"),
        ("request passed on", "front-1"),
    ]
