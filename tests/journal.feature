Feature: structured log and generated reference pages

  Scenario Outline: a generated page matches the code
    Then the page <page> is what scripts/catalogue.py generates

    Examples:
      | page        |
      | EVENTS.md   |
      | SETTINGS.md |
      | MODULES.md  |

  Scenario: a log line has the number, the name and the fields of its event
    Then a logged event is one JSON line with its number, name and fields

  Scenario: a reader that stopped does not block the writer, and dropped lines are counted
    Given a pipe whose reader does not read
    When 5000 lines of 200 bytes are written to it
    Then the writer did not block and buffers at most its limit
    When the reader reads again
    Then complete lines arrive, and one of them has the number of dropped lines
