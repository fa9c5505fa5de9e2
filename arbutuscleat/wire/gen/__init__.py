__all__ = ['ttypes', 'constants', 'Handshake', 'Control', 'Entry']
