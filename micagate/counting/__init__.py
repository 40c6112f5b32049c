"""Quotas counted on a counter service that all gateways share. No I/O."""
