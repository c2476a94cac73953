"""Admission: queueing, refusals, concurrency limits and retry budgets."""

from cairnferry.policy.admission._admission import Admission
from cairnferry.policy.admission._budget import create_budget
from cairnferry.policy.admission._capacity import Capacity
from cairnferry.policy.admission._declared_timeouts import DeclaredTimeouts
from cairnferry.policy.admission._demand import DemandEstimate
from cairnferry.policy.admission._queue import PRIORITIES
from cairnferry.policy.admission._refusals import Refusals

__all__ = [
    "Admission",
    "PRIORITIES",
    "DeclaredTimeouts",
    "DemandEstimate",
    "Refusals",
    "Capacity",
    "create_budget",
]
