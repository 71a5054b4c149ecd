"""Control plane: replicated log, membership, placement, idempotency keys."""
