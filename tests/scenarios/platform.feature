Feature: Ownership of keys on the users' platform
  Six routers share the platform's store, each on a VM with one target of the same
  service. A key has a holder while a target has an unexpired grant for it. Each grant
  is checked against the guarantees: no key has two holders, and fences only increase.

  Background:
    Given 6 routers on the platform's store

  Scenario: A VM is lost
    When VM 1 is lost
    Then every key has a holder within 5 s

  Scenario Outline: VMs whose routers witness each other's leases are lost together
    When VM <first> is lost
    And VM <second> is lost
    Then every key has a holder within 6 s

    Examples:
      | first | second |
      | 1     | 2      |
      | 3     | 6      |

  Scenario: Most VMs are lost, so their keys move only after a full lease
    When VM 1 is lost
    And VM 2 is lost
    And VM 3 is lost
    And VM 4 is lost
    Then every key has a holder within 25 s

  Scenario: All routers are killed while their targets keep running
    When every router is killed and restarted after 1 s
    Then every key has a holder within 4 s
    And each target owns as many keys as before

  Scenario: The store is unavailable
    When the store is unavailable for 8 s
    Then every key had a holder throughout

  Scenario: The store is unavailable and a VM is lost meanwhile
    When the store is unavailable for 6 s
    And VM 2 is lost
    Then every key has a holder within 12 s

  Scenario: A router is suspended and resumes with stale state
    When router 3 is suspended for 5 s
    Then every key has a holder within 9 s

  Scenario: A VM is partitioned from the store and all other VMs, and reconnects
    When VM 4 is partitioned for 8 s
    Then every key has a holder within 9 s
    And the target of VM 4 holds keys again within 12 s

  Scenario: The store loses answers, and a VM is lost meanwhile
    When the store loses the answers to half of the appends for 5 s
    And VM 5 is lost
    Then every key has a holder within 16 s

  Scenario: A target leaves
    When the target of VM 6 leaves
    Then the other targets hold every key within 6 s
