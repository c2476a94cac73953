"""Whether a request waits, is refused or is repeated."""

from cairnferry.policy.admission._admission import Admission
from cairnferry.policy.admission._budget import budget_of
from cairnferry.policy.admission._demand import Demand
from cairnferry.policy.admission._queue import CLASSES
from cairnferry.policy.admission._refusals import Refusals
from cairnferry.policy.admission._room import Room

__all__ = ["Admission", "CLASSES", "Demand", "Refusals", "Room", "budget_of"]
