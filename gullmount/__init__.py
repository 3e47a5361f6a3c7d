"""A release controller and the router that moves live traffic between builds."""

__version__ = "0.2.0"
