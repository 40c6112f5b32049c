"""What is kept of long bodies, and what may follow of an attempt that had but a part of one. Pure."""
