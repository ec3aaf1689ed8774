"""The serving node of eelgrassward."""

__version__ = "0.1.0"
