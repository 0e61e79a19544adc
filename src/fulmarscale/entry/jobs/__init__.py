"""Jobs whose tasks may be run again: order, placement, answers."""
