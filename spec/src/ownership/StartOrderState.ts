/** What an owner knows of the order behind a placed task, as in the product's `OrderStage`. */
export type StartOrderState = 'recorded' | 'sent' | 'unclear' | 'confirmed' | 'barred' | 'inherited'
