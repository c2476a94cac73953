"""Workspaces in force, and their replacement as a whole."""

import gevent

from cairnferry.entry import _steps
from cairnferry.entry.workspaces import WorkspaceRegistry
from cairnferry.records import Workspace, digest_key


def workspaces(count, prefix="key"):
    return [
        Workspace(f"w{number}", frozenset([digest_key(f"{prefix}{number}")]))
        for number in range(count)
    ]


def test_registry_without_workspaces_requires_no_keys():
    registry = WorkspaceRegistry()
    assert not registry.is_required
    assert registry.snapshot() == {"count": 0, "required": False}


def test_empty_list_of_workspaces_requires_keys():
    """Guards against a deployment that serves everybody after its last key is gone."""
    registry = WorkspaceRegistry()
    registry.install(registry.prepare(()))
    assert registry.is_required
    assert registry.find("key0").is_error()
    registry.install(registry.prepare(None))
    assert not registry.is_required


def test_install_replaces_all_workspaces():
    registry = WorkspaceRegistry()
    registry.install(registry.prepare(workspaces(2)))
    registry.install(registry.prepare(workspaces(1, "new")))
    assert registry.find("key0").is_error()
    assert registry.find("new0").ok.name == "w0"
    assert registry.get("w1") is None
    assert len(registry) == 1


def test_other_tasks_run_while_workspaces_are_indexed(monkeypatch):
    """Guards against a stall of all requests while many keys come into force.

    The workspaces in force stay until the new ones are installed.
    """
    monkeypatch.setattr(_steps, "STEP_S", 0.0)
    registry = WorkspaceRegistry()
    registry.install(registry.prepare(workspaces(1)))
    seen = []
    task = gevent.spawn(lambda: seen.append(registry.find("key0")))
    index = registry.prepare(workspaces(50, "new"))
    task.join()
    assert seen[0].is_ok()
    registry.install(index)
    assert registry.find("key0").is_error()
    assert registry.find("new49").is_ok()


def test_each_install_begins_a_generation():
    """Guards against a waiting request that is not checked by new rules.

    Other routes may be anonymous although the workspaces are the same.
    """
    registry = WorkspaceRegistry()
    same = workspaces(3)
    generations = set()
    for _ in range(3):
        registry.install(registry.prepare(same))
        generations.add(registry.generation)
    assert len(generations) == 3
