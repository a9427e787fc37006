"""The record on disk: segments, checksums, snapshots, and what a full or lying disk gets."""
