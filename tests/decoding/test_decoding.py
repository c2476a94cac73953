"""Documents of any form: each is decoded, or becomes a typed error."""

import json
import zlib

import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.decoding import (
    Malformed,
    decode,
    decode_object,
    decompress,
    is_text,
    load_json,
    load_lenient_json,
    start_after,
)

# Strings with lone surrogates, as Python itself holds them.
ANY_TEXT = st.text(st.characters(exclude_categories=()), max_size=12)

MALFORMED = {
    "no bytes": b"",
    "no text": b"\xff\xfe\xfd\xfc",
    "no object": b"[]",
    "nesting": b"[" * 1_000_000,
    "nesting of objects": b'{"a":' * 200_000,
    "number": b'{"a": ' + b"9" * 100_000 + b"}",
    "surrogate": rb'{"a": "\ud800"}',
    "surrogate in a name": rb'{"\udfff": 1}',
    "surrogate in bytes": b'{"a": "\xed\xa0\x80"}',
    "surrogates in another order": rb'{"a": "\udc00\ud800"}',
    "field missing": b"{}",
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED)
def test_a_malformed_document_is_a_typed_error(data):
    """Guards against a task that ends, or an answer that fails, by one document."""
    decoded = decode_object(data, lambda document: document["a"])
    assert isinstance(decoded.error, Malformed)
    assert len(str(decoded.error)) <= 300
    str(decoded.error).encode()


@pytest.mark.parametrize(
    "error",
    [RecursionError("x"), MemoryError(), AttributeError("x"), KeyError(b"\xff")],
    ids=lambda error: type(error).__name__,
)
def test_whatever_a_reader_raises_is_a_typed_error(error):
    def read():
        raise error

    assert isinstance(decode(read).error, Malformed)


@given(st.binary())
def test_any_bytes_are_decoded_or_a_typed_error(data):
    decoded = decode(lambda: load_json(data))
    if decoded.is_ok():
        json.dumps(decoded.ok, ensure_ascii=False).encode()


@given(
    st.recursive(
        ANY_TEXT, lambda inner: st.lists(inner) | st.dictionaries(ANY_TEXT, inner)
    )
)
def test_all_text_of_a_document_can_be_encoded(value):
    """Guards against text that can be read and never be written again."""
    decoded = decode(lambda: load_json(json.dumps(value)))
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        assert decoded.is_error()
    else:
        assert decoded == Ok(value)


@given(ANY_TEXT)
def test_faulty_text_leaves_the_rest_of_a_long_document_readable(text):
    document = load_lenient_json(json.dumps([text, "rest"]).encode())
    assert document == [text, "rest"]
    try:
        text.encode()
    except UnicodeEncodeError:
        assert not is_text(text)
    else:
        assert is_text(text)


def test_bytes_that_are_no_text_leave_the_rest_readable():
    document = load_lenient_json(b'["\xed\xa0\x80", "\xff", "rest"]')
    assert [is_text(each) for each in document] == [False, False, True]


@given(ANY_TEXT, ANY_TEXT)
def test_no_valid_key_lies_between_a_key_and_the_start_after_it(key, other):
    """Guards against a listing that loses rows behind a faulty key."""
    start = start_after(key)
    start.encode()
    assert start > key
    if is_text(other) and other > key:
        assert other >= start


@pytest.mark.parametrize(
    "data",
    [
        zlib.compress(bytes(100_000_000)),
        zlib.compress(b"text")[:-1],
        b"no compressed data",
        b"",
    ],
    ids=["too large", "cut short", "not compressed", "empty"],
)
def test_data_that_cannot_be_uncompressed_is_rejected(data):
    """Guards against a few bytes that fill the memory."""
    with pytest.raises(ValueError):
        decompress(data)


def test_compressed_data_is_returned():
    assert decompress(zlib.compress(b"text")) == b"text"
    assert decompress(zlib.compress(bytes(10)), max_bytes=10) == bytes(10)
