package announcer
