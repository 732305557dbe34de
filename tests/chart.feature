Feature: chart

  Scenario: the charts of the package load
    Then the chart "vm" begins at "serving" and the chart "batch" at "opened"

  Scenario Outline: a chart that is not whole is refused
    Then the chart text "<text>" is refused with "<error>"

    Examples:
      | text                                        | error           |
      | [chart];initial=a;[a];go=b                  | unknown state   |
      | [chart];initial=b;[a];go=a                  | unknown state   |
      | [a];go=a                                    | unknown state   |
      | [chart];initial=a;[a];go=a;go=a             | already exists  |
      | [chart];initial=a;[a];go=a;[b];go=a         | cannot be reached |

  Scenario: a trigger that a state does not accept is refused
    Then the chart "vm" refuses "reboot_ordered" when "serving"
