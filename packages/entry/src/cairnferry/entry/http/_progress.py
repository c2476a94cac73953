"""How far a request is that is not answered yet."""

import enum


class Progress(enum.StrEnum):
    """Stages of an unanswered request."""

    READING = "reading"
    WAITING = "waiting"
    AT_TARGET = "at-target"
    AT_PEER = "at-peer"
    ANSWERING = "answering"
