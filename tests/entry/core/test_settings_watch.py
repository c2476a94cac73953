"""Reload of settings while a daemon runs."""

import pytest
from expression import Error, Ok
from gevent.event import Event

from cairnferry.entry.core._settings_watch import SettingsWatch


@pytest.fixture
def watch(tmp_path):
    path = tmp_path / "settings"
    path.write_text("a=1\n")
    applied = []

    def read(text):
        return Error(["a: is wrong"]) if "wrong" in text else Ok(text)

    watch = SettingsWatch(str(path), read, applied.append, Event(), "a=1\n")
    return watch, path, applied


def test_a_change_is_applied_once(watch, caplog):
    caplog.set_level("INFO")
    watch, path, applied = watch
    path.write_text("a=2\nb=3\n")
    watch.check(is_requested=False)
    watch.check(is_requested=False)
    assert applied == ["a=2\nb=3\n"]
    (record,) = [r for r in caplog.records if r.message == "reload"]
    assert record.changed == ["a=2", "b=3"]


def test_a_signal_without_a_change_is_logged(watch, caplog):
    caplog.set_level("INFO")
    watch, _, applied = watch
    watch.check(is_requested=True)
    assert applied == []
    assert "reload" in caplog.text


def test_settings_that_cannot_be_read_have_no_effect(watch, caplog):
    watch, path, applied = watch
    path.write_text("a=wrong\n")
    watch.check(is_requested=True)
    path.unlink()
    watch.check(is_requested=True)
    assert applied == []
    assert caplog.text.count("settings kept") == 2
