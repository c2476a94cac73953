"""Whether this daemon's paths to a service work, and which peers may serve instead."""

from cairnferry.policy.paths._evidence import PathChange, ServicePaths

__all__ = ["PathChange", "ServicePaths"]
