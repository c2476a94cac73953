"""Tests of settings: all errors are reported with their place and cause."""

import pytest

from cairnferry.settings import Address, Key, ValueType, format_key_table, read_settings

KEYS = (
    Key("a", "name", ValueType.NAME, "name"),
    Key("a", "listen", ValueType.ADDRESS, "address"),
    Key(
        "b",
        "wait",
        ValueType.NUMBER,
        "time",
        default=1.5,
        unit="s",
        minimum=0,
        maximum=9,
    ),
    Key("b", "on", ValueType.BOOLEAN, "switch", default=False),
    Key("b", "path", ValueType.PATH, "file", optional=True),
)


def write(tmp_path, text):
    path = tmp_path / "x.ini"
    path.write_text(text)
    return str(path)


def test_values_defaults_and_overrides(tmp_path):
    path = write(tmp_path, "[a]\nname = n\nlisten = 127.0.0.1:80\n[b]\non = yes\n")
    cfg = read_settings(KEYS, path, {"a.name": "m"}).ok
    assert cfg.get("a", "name") == "m"
    assert cfg.get("a", "listen") == Address("127.0.0.1", 80)
    assert cfg.get("b", "wait") == 1.5
    assert cfg.get("b", "on") is True
    assert cfg.get("b", "path") is None


def test_all_errors_are_reported_at_once(tmp_path):
    path = write(
        tmp_path,
        "[a]\nname = Not Good\nlisten = host:80\nother = 1\n"
        "[b]\nwait = 10\non = maybe\n",
    )
    faults = read_settings(KEYS, path, {}).error
    locations = {(fault.section, fault.key) for fault in faults}
    assert locations == {
        ("a", "name"),
        ("a", "listen"),
        ("a", "other"),
        ("b", "wait"),
        ("b", "on"),
    }
    lines = [str(fault) for fault in faults]
    assert f"{path}: [b] wait: expected a number from 0 to 9 (s), not '10'" in lines


@pytest.mark.parametrize("text", ["nan", "inf", "-1", "x", ""])
def test_invalid_numbers_are_refused(text):
    overrides = {"a.name": "n", "a.listen": "127.0.0.1:1", "b.wait": text}
    (fault,) = read_settings(KEYS, None, overrides).error
    assert (fault.source, fault.key) == ("options", "wait")


def test_missing_key_and_missing_file_are_reported():
    faults = read_settings(KEYS, "/nonexistent/x.ini", {"a.name": "n"}).error
    assert ["cannot be read" in f.expected for f in faults] == [True, False]
    assert faults[1].key == "listen"


def test_error_of_a_file_that_is_not_ini_has_one_line(tmp_path):
    faults = read_settings(KEYS, write(tmp_path, "no section\n"), {}).error
    assert "is not INI" in str(faults[0])
    assert "\n" not in str(faults[0])


def test_table_of_keys_has_a_row_for_each_key():
    rows = format_key_table(KEYS).splitlines()
    assert len(rows) == 2 + len(KEYS)
    assert "| b | wait | number | s | 1.5 | 0 to 9 | time |" in rows
