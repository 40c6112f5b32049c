"""micagate: the decisions of an admission gateway for a service sold by plan."""

from micagate.gateway import Gateway
from micagate.interface import Plan, RequestClass, Settings

__all__ = ["Gateway", "Plan", "RequestClass", "Settings"]
