"""Keeps to the request limits that servers name, over all nodes together."""

from .named_limits import NamedLimit, NamedLimits

__all__ = ["NamedLimit", "NamedLimits"]
