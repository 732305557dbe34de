Feature: catalogue of events, settings and modules

  Scenario Outline: the page agrees with the code
    Then the page <page> is what the catalogue writes

    Examples:
      | page        |
      | EVENTS.md   |
      | SETTINGS.md |
      | MODULES.md  |

  Scenario: a line carries the number, the name and the fields of its event
    Then a noted event is one JSON line with its number, name and fields

  Scenario: a reader that stopped holds up nothing, and what was lost is counted
    Given a pipe whose reader has stopped
    When 5000 lines of 200 bytes are written to it
    Then the writer did not wait and kept at most its bound
    When the reader goes on
    Then whole lines arrive, and one of them tells how many were dropped
