"""The gatekeeper process: assembles all components and runs them from start to shutdown."""
