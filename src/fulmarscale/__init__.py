"""A distributed dispatcher for parallel jobs of sub-second tasks."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"
"""The package version; must equal the version in pyproject.toml."""
