Feature: Owners of keys on the users' platform
  Six routers, each beside a target of one service, on the platform's store. Every
  promise is watched at each grant: no key with two holders, fences that only rise.

  Background:
    Given 6 routers on the platform's store

  Scenario: A VM is lost
    When VM 1 is lost
    Then every key has a holder within 5 s

  Scenario Outline: VMs are lost together with guardians of each other
    When VM <first> is lost
    And VM <second> is lost
    Then every key has a holder within 6 s

    Examples:
      | first | second |
      | 1     | 2      |
      | 3     | 6      |

  Scenario: Most VMs are lost, so a whole lease is waited for
    When VM 1 is lost
    And VM 2 is lost
    And VM 3 is lost
    And VM 4 is lost
    Then every key has a holder within 25 s

  Scenario: All routers are ended while their targets go on
    When every router is ended for 1 s
    Then every key has a holder within 4 s
    And each VM owns what it owned before

  Scenario: The store is away
    When the store is away for 8 s
    Then no key was without a holder meanwhile

  Scenario: The store is away and a VM is lost meanwhile
    When the store is away for 6 s
    And VM 2 is lost
    Then every key has a holder within 12 s

  Scenario: A router freezes and goes on as though nothing had happened
    When router 3 is frozen for 5 s
    Then every key has a holder within 9 s

  Scenario: A VM is cut off from the store and all others, and comes back
    When VM 4 is cut off for 8 s
    Then every key has a holder within 9 s
    And VM 4 owns keys again within 12 s

  Scenario: Answers of the store are lost while a VM is lost
    When answers of the store are lost for 5 s
    And VM 5 is lost
    Then every key has a holder within 16 s

  Scenario: A target leaves
    When the target of VM 6 leaves
    Then the other VMs hold every key within 6 s
