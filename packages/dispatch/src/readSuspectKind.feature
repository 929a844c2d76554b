Feature: A suspect is a part of prompts or a request as a whole

    Scenario Outline: <suspect>
        Then readSuspectKind of ["<suspect>"] gives "<kind>"

        Examples:
            | suspect          | kind    |
            | 91bd3f06         | part    |
            | request:91bd3f06 | request |
