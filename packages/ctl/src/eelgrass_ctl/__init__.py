"""``eelgrassctl``, the command line tool for operators of eelgrassward."""
