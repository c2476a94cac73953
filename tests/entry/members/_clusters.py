"""Builds members and a daemon's view of them, without sockets."""

import random

from cairnferry.coordination import Member, Membership, MemberState, NoteRegistry
from cairnferry.entry.members._cluster import Cluster


class Rules:
    """Rules in force at revision 1."""

    revision = 1
    behind = None


def member(name, zone="hall", state=MemberState.ALIVE, incarnation=1):
    return Member(name, zone, f"{name}:1", f"{name}:2", incarnation, state)


def cluster(name, *others, zone="hall"):
    membership = Membership(member(name, zone), random.Random(1))
    for other in others:
        membership.merge(other, 0.0)
    return Cluster(membership, Rules(), NoteRegistry(lambda *note: None), lambda: 1.0)
