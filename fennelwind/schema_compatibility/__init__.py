"""Schema compatibility: replicated subscriptions and schemas, their checker and rollouts. No I/O."""
