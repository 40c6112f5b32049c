"""The workers' side: connections to them, and the attempts that go over those."""
