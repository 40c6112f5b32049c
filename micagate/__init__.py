"""The decision logic of an admission gateway and load balancer for a service that is sold by plan, without I/O."""

from micagate.gateway import Gateway
from micagate.interface import Plan, RequestClass, Settings

__all__ = ["Gateway", "Plan", "RequestClass", "Settings"]
