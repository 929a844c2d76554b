Feature: A stop has the time that the settings give when it begins

    # Guards against a process that cuts its requests at the limit of its start, after a reload has given it longer.
    Scenario Outline: <case>
        Given a program whose stop never ends, with a limit of 8000 ms at its start
        When its settings name <later> and SIGTERM arrives
        Then it ends after <limit> ms, with code 3

        Examples:
            | case                         | later               | limit |
            | the limit of the start       | no limit            | 8000  |
            | a longer one after a reload  | a limit of 14000 ms | 14000 |
            | a shorter one after a reload | a limit of 3000 ms  | 3000  |
