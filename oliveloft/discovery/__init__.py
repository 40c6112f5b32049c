"""Discovery: watches the list of workers, with their addresses and states."""
