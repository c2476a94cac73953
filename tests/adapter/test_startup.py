"""Preparation of the process, before the daemon's modules are imported."""

import os
import subprocess
import sys

import pytest

from cairnferry.settings import Address, parse_address
from cairnferry.standins import free_port
from hosting._early_listeners import open_listeners
from hosting._method_cache import MethodCache
from hosting.command import _adopt

from .test_process import ROOT

# Modules that a start must not execute, each of which takes a notable part of it.
UNUSED = ("asyncio", "geventhttpclient.client", "subprocess", "urllib.request", "_ssl")


def run(code, **environment):
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": str(ROOT / "platform"), **environment},
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.split()


def test_a_start_does_not_execute_unused_modules():
    """An import added anywhere in the daemon brings a deferred module back."""
    loaded = run("import hosting.__main__, sys; print(*sys.modules)")
    assert "hosting.command" in loaded
    assert not set(loaded) & set(UNUSED)


def test_a_deferred_module_keeps_its_whole_interface():
    """A library's name outside of the table would be missing in the daemon."""
    code = (
        "from hosting._startup import prepare_process; prepare_process();"
        "from expression import Ok, Result, pipe;"
        "import expression, fastjsonschema, ssl;"
        "from geventhttpclient import HTTPClient;"
        "from geventhttpclient.connectionpool import SSLConnectionPool;"
        "print(pipe(1, str), expression.Ok is Ok, isinstance(Ok(1), Result),"
        " HTTPClient.__name__, SSLConnectionPool.__name__, ssl.CERT_NONE.name,"
        " callable(fastjsonschema.compile))"
    )
    expected = "1 True True HTTPClient SSLConnectionPool CERT_NONE True"
    assert run(code) == expected.split()


CACHED = """\
import sys
import attr, attrs
from hosting._method_cache import MethodCache
cache = MethodCache({path!r})
with cache:
    cache.load()
    @attrs.frozen
    class Pair:
        left: int
        right: str = "r"
    if {write}:
        cache.write()
same = Pair(1) == Pair(1) and hash(Pair(1)) == hash(Pair(1)) and Pair(1) != Pair(2)
print(cache.misses, repr(Pair(1)), same, hasattr(attr._make, "compile"))
"""


def test_methods_of_classes_come_from_the_cache(tmp_path):
    """The source of a hash differs in each process, so that nothing would be found."""
    path = str(tmp_path / "methods")
    built = run(CACHED.format(path=path, write=True), PYTHONHASHSEED="1")
    started = run(CACHED.format(path=path, write=False), PYTHONHASHSEED="2")
    assert built == ["1", "Pair(left=1,", "right='r')", "True", "False"]
    assert started == ["0", *built[1:]]


def test_a_changed_class_is_compiled_anew(tmp_path):
    """Methods of a class as it was at build time would lack its new attributes."""
    path = str(tmp_path / "methods")
    run(CACHED.format(path=path, write=True))
    changed = CACHED.replace('right: str = "r"', 'right: str = "r"; third: int = 3')
    started = run(changed.format(path=path, write=False))
    assert started[:4] == ["1", "Pair(left=1,", "right='r',", "third=3)"]


@pytest.mark.parametrize("damage", [b"", b"other", "half"])
def test_an_unusable_cache_is_ignored(tmp_path, damage):
    """A start would fail with a file of another interpreter, or a truncated one."""
    path = tmp_path / "methods"
    cache = MethodCache(str(path))
    cache.compile("a = 1", "name", "exec")
    cache.write()
    data = path.read_bytes()
    path.write_bytes(data[: len(data) // 2] if damage == "half" else damage)
    read = MethodCache(str(path))
    read.load()
    assert read.entries == {}
    assert MethodCache(str(tmp_path / "missing")).entries == {}


def open_from(folder, text):
    path = folder / "boot.conf"
    path.write_text(text)
    return open_listeners(str(path))


def free_address():
    return parse_address(f"127.0.0.1:{free_port()}")


def test_the_addresses_of_callers_are_listened_on_before_the_imports(tmp_path):
    addresses = [free_address(), free_address()]
    front, directory = addresses
    text = f"zone=z\nlisten.front={front}\nlisten.directory={directory}\nseeds=\n"
    listeners = open_from(tmp_path, text)
    assert [Address(*each.getsockname()) for each in listeners] == addresses
    adopted = _adopt(listeners, *addresses)
    assert {a: Address(*s.getsockname()) for a, s in adopted.items()} == {
        front: front,
        directory: directory,
    }
    for sock in adopted.values():
        sock.close()


def test_a_listener_on_another_address_is_not_used(tmp_path):
    """Guards against a daemon that listens elsewhere than its settings say."""
    (listener,) = open_from(tmp_path, f"listen.front={free_address()}\n")
    assert _adopt([listener], free_address()) == {}
    assert listener.fileno() == -1


@pytest.mark.parametrize(
    "text",
    [
        "",
        "listen.front=\n",
        "listen.front=host\n",
        "listen.front=127.0.0.1:99999\n",
        "listen.front=127.0.0.1:-1\n",
        "listen.front=203.0.113.9:80\n",
        "listen.front=no such host:80\n",
    ],
)
def test_a_listener_that_cannot_be_opened_early_is_left_to_the_daemon(tmp_path, text):
    """Guards against a start that fails without the daemon's message."""
    assert open_from(tmp_path, text) == []


def test_missing_settings_are_left_to_the_daemon(tmp_path):
    assert open_listeners(str(tmp_path / "missing")) == []
    (tmp_path / "binary").write_bytes(b"\xff\xfe=")
    assert open_listeners(str(tmp_path / "binary")) == []
