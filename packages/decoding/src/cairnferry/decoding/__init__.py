"""Decoding of documents that other programs wrote, into values or typed errors."""

from cairnferry.decoding._decoding import (
    Malformed,
    decode,
    decode_object,
    decode_text,
    decompress,
    is_text,
    load_json,
    load_lenient_json,
    start_after,
)

__all__ = [
    "Malformed",
    "decode",
    "decode_object",
    "decode_text",
    "decompress",
    "is_text",
    "load_json",
    "load_lenient_json",
    "start_after",
]
