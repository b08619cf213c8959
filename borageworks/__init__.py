"""Router fleet that shares endpoints fairly between organisations."""

__version__ = "0.1.0"
