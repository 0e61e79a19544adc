"""HTTP servers, and the bounds of what all listeners hold and do."""
