__all__ = ['ttypes', 'constants', 'JobControl']
