"""What clients speak. A front turns bytes into submissions and answers into bytes, and decides nothing."""
