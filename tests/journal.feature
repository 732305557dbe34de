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
