"""Operations of the callers."""
