"""A dispatcher for parallel jobs of sub-second tasks."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"
"""The version of the package, as in pyproject.toml."""
